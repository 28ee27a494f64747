"""Import the daemon's libraries without their modules that it never uses, to save memory.

The CEL binding imports its own command-line tool. structlog's console renderer imports ``rich`` if
it is installed. websockets and tornado import ``importlib.metadata``, ``multiprocessing`` and
``curses``. The daemon calls none of these. Together they would take about 12 MB of the 64 MB that a
daemon may use (Python 3.11, common-expression-language 0.10, structlog 26.1, websockets 17.4,
tornado 6.6).
"""

import contextlib
import gc
import sys
import types
from collections.abc import Iterator

# The libraries import these without using any of their attributes at import time.
_EMPTY_MODULES = ("cel.cli", "importlib.metadata", "multiprocessing")
# The libraries that import these handle ``ImportError``.
_ABSENT_MODULES = ("rich", "curses", "colorama", "typing_extensions")


@contextlib.contextmanager
def without_unused_modules() -> Iterator[None]:
    """Make the unused modules empty or absent while the libraries are imported.

    Imports create almost no garbage, so the garbage collector is off in the meantime. Afterwards
    all existing objects are frozen: later collections skip them.
    """
    replaced = [name for name in (*_EMPTY_MODULES, *_ABSENT_MODULES) if name not in sys.modules]
    for name in replaced:
        # ``None`` makes the import system raise ``ImportError``.
        sys.modules[name] = types.ModuleType(name) if name in _EMPTY_MODULES else None
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.freeze()
        for name in replaced:
            del sys.modules[name]
