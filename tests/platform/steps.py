"""The steps of serving a request, found by watching one being served, and made to fail in turn."""

import asyncio
import contextlib
import enum
import inspect
import itertools
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from types import FrameType
from unittest import mock

from railsail.node import Node

# What serves requests of routes. The parts behind it, such as those that place tickets, fail at its
# calls to them.
MODULES = (
    "railsail.routing.",
    "railsail.platform.http",
    "railsail.gateway.admission",
    "railsail.gateway.callers",
    "railsail.gateway.verdicts",
    "railsail.dispatch.acquire",
    "railsail.streams.service",
)


class Failure(enum.Enum):
    """How a step fails."""

    RAISES = enum.auto()
    CANCELLED = enum.auto()
    HANGS = enum.auto()


class StepFailed(Exception):
    """An error that no code expects."""


@dataclass(frozen=True, order=True)
class Step:
    """A function or method that is called while a request is served."""

    module: str
    name: str

    def __str__(self) -> str:
        return f"{self.module}.{self.name}"

    @property
    def _owner(self) -> object:
        owner = sys.modules[self.module]
        for part in self.name.split(".")[:-1]:
            owner = getattr(owner, part)
        return owner

    @property
    def _attribute(self) -> object:
        return inspect.getattr_static(self._owner, self.name.split(".")[-1])

    @property
    def exists(self) -> bool:
        """Say whether it can be replaced: functions within functions cannot."""
        last = self.name.split(".")[-1]
        return "<" not in self.name and not last.startswith("__")

    @property
    def is_awaited(self) -> bool:
        return inspect.iscoroutinefunction(self._attribute)

    @contextlib.contextmanager
    def failing(self, failure: Failure, passes: int) -> Iterator[list[int]]:
        """Let it fail after ``passes`` calls; yield the list of its calls."""
        calls: list[int] = []
        attribute = self._attribute
        if isinstance(attribute, property):
            replaced = property(_replace(attribute.fget, failure, passes, calls))
        elif isinstance(attribute, staticmethod):
            replaced = staticmethod(_replace(attribute.__func__, failure, passes, calls))
        else:
            replaced = _replace(attribute, failure, passes, calls)
        last = self.name.split(".")[-1]
        with contextlib.ExitStack() as patches:
            for owner in self._holders(last, attribute):
                patches.enter_context(mock.patch.object(owner, last, replaced))
            yield calls

    def _holders(self, last: str, attribute: object) -> list[object]:
        """Return the class that it belongs to, or all modules that have imported it."""
        if "." in self.name:
            return [self._owner]
        modules = [module for name, module in sys.modules.items() if name.startswith("railsail.")]
        return [module for module in modules if getattr(module, last, None) is attribute]


def _replace(original: Callable, failure: Failure, passes: int, calls: list[int]) -> Callable:
    counter = itertools.count()

    def fails() -> bool:
        calls.append(next(counter))
        return calls[-1] >= passes

    async def awaited(*arguments, **named):
        if not fails():
            return await original(*arguments, **named)
        if failure is Failure.HANGS:
            await asyncio.Event().wait()
        raise asyncio.CancelledError if failure is Failure.CANCELLED else StepFailed

    def called(*arguments, **named):
        if not fails():
            return original(*arguments, **named)
        raise StepFailed

    return awaited if inspect.iscoroutinefunction(original) else called


@dataclass
class StepWatcher:
    """Finds the steps that run while it is entered, but not in tasks of nodes or the test."""

    nodes: list[Node]
    steps: set[Step] = field(default_factory=set)

    def __enter__(self) -> "StepWatcher":
        self._own = {task for node in self.nodes for task in node._tasks}
        self._own.add(asyncio.current_task())
        sys.setprofile(self._watch)
        return self

    def __exit__(self, *problem: object) -> None:
        sys.setprofile(None)

    def _watch(self, frame: FrameType, event: str, argument: object) -> None:
        if event != "call":
            return
        module = frame.f_globals.get("__name__", "")
        if not module.startswith(MODULES):
            return
        step = Step(module, frame.f_code.co_qualname)
        if step.exists and self._serves():
            self.steps.add(step)

    def _serves(self) -> bool:
        try:
            task = asyncio.current_task()
        except RuntimeError:
            return False
        return task is not None and task not in self._own
