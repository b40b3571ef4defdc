"""Run a daemon with one line of one module replaced, to show that a check fails.

``python -m tests.matrix.broken NAME ROLE SETTINGS``; ``broken.json`` holds the
names, the lines and the promise that each build breaks.
"""

import importlib
import importlib.util
import json
import sys
from pathlib import Path

BUILDS = json.loads((Path(__file__).parent / "broken.json").read_text())


def replace_line(module: str, old: str, new: str) -> None:
    """Import `module` with `old`, which must occur exactly once, replaced by `new`."""
    parent, _, name = module.rpartition(".")
    package = importlib.import_module(parent)
    spec = importlib.util.find_spec(module)
    source = Path(spec.origin).read_text()
    if source.count(old) != 1:
        raise SystemExit(
            f"{module}: expected {old!r} once, found it {source.count(old)} times"
        )
    loaded = importlib.util.module_from_spec(spec)
    sys.modules[module] = loaded
    exec(compile(source.replace(old, new), spec.origin, "exec"), loaded.__dict__)
    setattr(package, name, loaded)


if __name__ == "__main__":
    build = BUILDS[sys.argv.pop(1)]
    replace_line(build["module"], build["old"], build["new"])
    from wisteriapulley.daemon import main

    sys.argv[1:] = [sys.argv[1], sys.argv[-1]]
    sys.exit(main())
