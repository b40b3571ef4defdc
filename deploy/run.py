"""Starts one daemon on the platform: ``run.py ROLE``.

Signals are handled before anything else is imported: until then a change of
settings must not end the process, and a stop ends it cleanly. The build leaves a
compiled copy of the package under ``target/app``; compiling it at each start took a
third of the start.
"""

import signal
import sys

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

import gc
import os
from pathlib import Path

HERE = Path(__file__).resolve().parent
BUILT_SOURCES = HERE.parent / "target" / "app"


def skip_unused_imports() -> None:
    """Leave out what the libraries import and no daemon uses.

    After a loss of all instances nobody is served until the processes have
    started. Without this, and without the interpreter's ``site``, an entry's
    start takes 0.51 s of processor time in place of 0.35 s. The deploy file starts
    the interpreter with ``-S``, since the packages stand on its path already.
    """
    # Reading the certificates of public authorities: no daemon speaks TLS.
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull
    # Searching all packages for plugins.
    os.environ["AIOMISC_NO_PLUGINS"] = "1"
    # Coloured logs; they are JSON here.
    sys.modules["rich"] = None


def start(role: str) -> int:
    """Run a daemon; return its exit status."""
    # What is imported stays: collecting it again and again while it grows, and
    # with each full collection later, is of no use.
    gc.disable()
    skip_unused_imports()
    sys.path.insert(
        0, str(BUILT_SOURCES if BUILT_SOURCES.is_dir() else HERE.parent / "src")
    )

    import wisteriapulley.clocks  # noqa: F401  (notes when the process began)
    from wisteriapulley.platform.daemons import main

    return main(role, str(HERE / "fleet.key"))


if __name__ == "__main__":
    sys.exit(start(sys.argv[1]))
