"""CEL programs: checked when a configuration is committed, and evaluated for each request.

A program has three typed inputs, documented in ``docs/ref/policies.md``: ``workspace``, ``request``
and ``load``. Comprehension macros are rejected, so that the cost of a program grows no faster than
its length.
"""

import functools
import re
from typing import Protocol

import cel
import msgspec

from railsail.core.checks import Finding, error

MAX_WAIT_SECONDS = 86_400.0
# Cached results per program. Only programs that read nothing but fields with few distinct values
# have a cache.
MAX_CACHED_RESULTS = 64
_LOW_CARDINALITY_FIELDS = frozenset(
    {
        ("workspace", "name"),
        ("workspace", "priority_class"),
        ("workspace", "weight"),
        ("request", "pool"),
        ("request", "kind"),
        ("request", "stream"),
        ("request", "has_key"),
        ("request", "priority"),
        ("request", "objective"),
        ("request", "repeatable"),
    }
)

_ERROR_LOCATION = re.compile(r"<input>:(\d+):(\d+): (?:Syntax error: )?([^\n]*)")
_MACRO = re.compile(r"\.\s*(all|exists|exists_one|map|filter)\s*\(")
_RUN_TIME_ERRORS = (RuntimeError, ValueError, KeyError, TypeError, ZeroDivisionError, OverflowError)


class WorkspaceInput(msgspec.Struct, frozen=True):
    """The input ``workspace``."""

    name: str = ""
    priority_class: str = ""
    weight: float = 1.0


class RequestInput(msgspec.Struct, frozen=True):
    """The input ``request``.

    ``kind`` is the upstream kind of the pool. ``deadline`` is in seconds from the start of the
    request, 0 for none. ``max_tokens`` is 0 if the caller gave none. ``priority``, ``objective``,
    which is in seconds, and ``repeatable`` are those of the route of the request, if it has one.
    """

    pool: str = ""
    kind: str = ""
    method: str = "POST"
    path: str = ""
    body_bytes: int = 0
    max_tokens: int = 0
    stream: bool = False
    has_key: bool = False
    deadline: float = 0.0
    priority: int = 0
    objective: float = 0.0
    repeatable: bool = False


class LoadInput(msgspec.Struct, frozen=True):
    """The input ``load``: requests that wait at this node, of the workspace and in total."""

    workspace_waiting: int = 0
    waiting: int = 0


class Inputs(msgspec.Struct, frozen=True):
    """All inputs of a program."""

    workspace: WorkspaceInput = WorkspaceInput()
    request: RequestInput = RequestInput()
    load: LoadInput = LoadInput()


class Verdict(msgspec.Struct, frozen=True):
    """The decision of a policy on one request; ``failed`` names the programs that failed."""

    rank: float
    may_wait: float
    never_repeat: bool
    failed: tuple[str, ...] = ()


def check_program(field: str, source: str, place: str) -> list[Finding]:
    """Return the findings about ``source``, the program of a policy's ``field``."""
    macro = _MACRO.search(source)
    if macro:
        location = f"{place} column {macro.start(1) + 1}"
        message = f"the macro {macro.group(1)!r} is not allowed"
        return [
            error("railsail.E030", message, location, "the cost of a program must stay bounded")
        ]
    try:
        program = cel.compile(source)
    except ValueError as problem:
        return [_syntax_error(str(problem), place)]
    return _check_result(field, program, place)


def _syntax_error(text: str, place: str) -> Finding:
    match = _ERROR_LOCATION.search(text)
    if match is None:
        return error("railsail.E031", text.splitlines()[0], place)
    line, column, message = match.groups()
    return error("railsail.E031", message[:200], f"{place} line {line} column {column}")


def _check_result(field: str, program: cel.Program, place: str) -> list[Finding]:
    # Evaluated with sample inputs, to detect unknown names and wrong types before any request.
    try:
        result = program.execute(msgspec.to_builtins(Inputs()))
    except KeyError as problem:
        known = "workspace, request and load; see docs/ref/policies.md"
        return [error("railsail.E032", f"there is no field {problem}", place, known)]
    except _RUN_TIME_ERRORS as problem:
        return [error("railsail.E033", str(problem).split(". ")[0], place)]
    expected = bool if field == "never_repeat" else float
    if not _has_type(result, expected):
        message = f"gives {type(result).__name__}, expected {expected.__name__}"
        return [error("railsail.E034", message, place)]
    return []


def _has_type(result: object, expected: type) -> bool:
    if expected is bool:
        return isinstance(result, bool)
    return isinstance(result, int | float) and not isinstance(result, bool)


class PolicySource(Protocol):
    """A policy as operators write it: its name and the sources of its programs."""

    name: str
    rank: str
    may_wait: str
    never_repeat: str


class _Program:
    """A compiled program, and the input fields that it may read."""

    def __init__(self, source: str) -> None:
        self._program = cel.compile(source)
        read = {name: _fields_read(source, name) for name in Inputs.__struct_fields__}
        self._fields = [(name, field) for name, fields in read.items() for field in fields]
        self._run = self._evaluate
        if _LOW_CARDINALITY_FIELDS.issuperset(self._fields):
            # The result depends on these fields only.
            self._run = functools.lru_cache(MAX_CACHED_RESULTS, typed=True)(self._evaluate)

    def execute(self, inputs: Inputs) -> object:
        """Return the result for ``inputs``, or raise one of ``_RUN_TIME_ERRORS``."""
        return self._run(*[getattr(getattr(inputs, name), field) for name, field in self._fields])

    def _evaluate(self, *values: object) -> object:
        # The library copies its whole context, which takes far longer than evaluating the program,
        # so that only the fields that are read are passed.
        context: dict[str, dict[str, object]] = {name: {} for name in Inputs.__struct_fields__}
        for (name, field), value in zip(self._fields, values, strict=True):
            context[name][field] = value
        return self._program.execute(context)


def _fields_read(source: str, name: str) -> tuple[str, ...]:
    """Return the fields of the input ``name`` that ``source`` may read."""
    known = type(getattr(Inputs(), name)).__struct_fields__
    read = set()
    for match in re.finditer(rf"\b{name}\b(?:\.(\w+)\b(?!\s*\())?", source):
        if match.group(1) not in known:
            # The source does not show which fields are read.
            return known
        read.add(match.group(1))
    return tuple(field for field in known if field in read)


class CompiledPolicy:
    """The programs of one policy, compiled once per version of the configuration."""

    def __init__(self, policy: PolicySource) -> None:
        self.name = policy.name
        self._rank = _Program(policy.rank)
        self._may_wait = _Program(policy.may_wait)
        self._never_repeat = _Program(policy.never_repeat)

    def judge(self, inputs: Inputs) -> Verdict:
        """Return the decision on a request.

        A program that fails is replaced by a safe default: rank 0, wait 60 s, and never repeat.
        """
        failed: list[str] = []
        rank = _run_or_default(self._rank, inputs, float, 0.0, "rank", failed)
        may_wait = _run_or_default(self._may_wait, inputs, float, 60.0, "may_wait", failed)
        never_repeat = _run_or_default(
            self._never_repeat, inputs, bool, True, "never_repeat", failed
        )
        may_wait = min(max(float(may_wait), 0.0), MAX_WAIT_SECONDS)
        return Verdict(float(rank), may_wait, bool(never_repeat), tuple(failed))


def _run_or_default(
    program: _Program,
    inputs: Inputs,
    expected: type,
    default: float | bool,
    field: str,
    failed: list[str],
) -> float | bool:
    try:
        result = program.execute(inputs)
    except _RUN_TIME_ERRORS:
        failed.append(field)
        return default
    if not _has_type(result, expected) or result != result:
        failed.append(field)
        return default
    return result
