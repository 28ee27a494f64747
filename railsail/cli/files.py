"""Reading of objects from JSON files, each of which holds one object or a list of objects."""

import json
from pathlib import Path

from railsail.core.checks import Finding, error


def read_objects(paths: list[str], findings: list[Finding]) -> list[dict[str, object]]:
    """Return the objects of all files, and add faults to ``findings``.

    A folder stands for its ``*.json`` files.
    """
    objects = []
    for path in _files(paths, findings):
        objects += _read_file(path, findings)
    return objects


def _files(paths: list[str], findings: list[Finding]) -> list[Path]:
    files = []
    for text in paths:
        path = Path(text)
        if path.is_dir():
            files += sorted(path.glob("*.json"))
        elif path.is_file():
            files.append(path)
        else:
            findings.append(error("railsail.E016", "there is no such file or folder", text))
    return files


def _read_file(path: Path, findings: list[Finding]) -> list[dict[str, object]]:
    try:
        content = json.loads(path.read_text())
    except (ValueError, OSError) as problem:
        findings.append(error("railsail.E017", f"cannot be read: {problem}", str(path)))
        return []
    items = content if isinstance(content, list) else [content]
    good = [item for item in items if isinstance(item, dict)]
    if len(good) < len(items):
        findings.append(error("railsail.E010", "an object must be a mapping", str(path)))
    return good
