"""Import a daemon's libraries without the parts of them that it never uses.

The CEL binding imports its own command-line tool, structlog's console renderer imports ``rich``
where it finds it, websockets and tornado import the standard library's readers of packages, its
process pools and its terminal control. Nothing of these is called here. Together they would take
about 12 MB of the 64 MB that a daemon may have (Python 3.11, common-expression-language 0.10,
structlog 26.1, websockets 17.4, tornado 6.6).
"""

import contextlib
import gc
import sys
import types
from collections.abc import Iterator

# Nothing is looked up in these when they are imported.
_EMPTY_MODULES = ("cel.cli", "importlib.metadata", "multiprocessing")
# Whoever imports these does without where they are not installed.
_ABSENT_MODULES = ("rich", "curses", "colorama", "typing_extensions")


@contextlib.contextmanager
def lean_imports() -> Iterator[None]:
    """Make those parts empty or absent while the libraries are imported.

    Next to nothing that an import makes is garbage, so that none is looked for in the meantime, nor
    later on in what was imported.
    """
    replaced = [name for name in (*_EMPTY_MODULES, *_ABSENT_MODULES) if name not in sys.modules]
    for name in replaced:
        # The import system takes ``None`` as the word that there is no such module.
        sys.modules[name] = types.ModuleType(name) if name in _EMPTY_MODULES else None
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.freeze()
        for name in replaced:
            del sys.modules[name]
