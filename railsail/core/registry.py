"""Registries of plug-ins, which register themselves when their modules are imported."""

import importlib
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from railsail.core.exceptions import RailsailError

T = TypeVar("T")

# The modules that register the built-in plug-ins when they are imported.
BUILT_IN_PLUGINS = (
    "railsail.upstreams.engine",
    "railsail.upstreams.service",
    "railsail.store.http",
    "railsail.rollouts.part",
    "railsail.streams.part",
)


class PluginError(RailsailError):
    """A plug-in name is unknown, or was registered twice."""


class Registry(Generic[T]):
    """The plug-ins of one kind, by name."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._plugins: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers a plug-in under ``name``.

        It raises ``PluginError`` if the name is taken.
        """

        def add(plugin: T) -> T:
            if name in self._plugins:
                raise PluginError(f"{self.kind} {name!r} is registered twice")
            self._plugins[name] = plugin
            return plugin

        return add

    def get(self, name: str) -> T:
        """Return the plug-in ``name``; raise ``PluginError`` if there is none."""
        try:
            return self._plugins[name]
        except KeyError:
            known = ", ".join(sorted(self._plugins))
            raise PluginError(f"no {self.kind} {name!r}; known are: {known}") from None

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._plugins))

    def __contains__(self, name: str) -> bool:
        return name in self._plugins


def load_plugins(modules: tuple[str, ...] = BUILT_IN_PLUGINS) -> None:
    """Import ``modules`` so that their plug-ins register themselves."""
    for module in modules:
        importlib.import_module(module)
