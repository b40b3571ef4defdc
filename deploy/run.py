"""Starts one daemon on the platform: ``run.py ROLE``.

Signal handlers are set before anything else is imported: during the imports a change
of settings must not end the process, and a stop signal must end it cleanly. The build
puts a compiled copy of the package into ``target/app``, since compiling it at each
start takes a third of the start-up time.
"""

import signal
import sys

if __name__ == "__main__":

    def stop(*_: object) -> None:
        """End the process; a second signal must not kill it meanwhile."""
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        sys.exit(0)

    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, stop)

import gc
import os
from pathlib import Path

HERE = Path(__file__).resolve().parent
BUILT_SOURCES = HERE.parent / "target" / "app"


def skip_unused_imports() -> None:
    """Skip what the libraries import or read and no daemon uses.

    After an outage of all instances no request is served until the processes have
    started. Skipping this and the interpreter's ``site`` module reduces the processor
    time of an entry's start from 0.51 s to 0.35 s. The deploy file starts the
    interpreter with ``-S``, since the packages are on its path already.
    """
    # Certificates of public authorities: no daemon uses TLS.
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull
    # The search of all packages for plugins.
    os.environ["AIOMISC_NO_PLUGINS"] = "1"
    # Coloured logs: the daemons log JSON.
    sys.modules["rich"] = None


def start(role: str) -> int:
    """Run a daemon; return its exit status."""
    # Imported modules are never freed. Scanning them during the imports, and again in
    # each later full collection, is useless.
    gc.disable()
    skip_unused_imports()
    sys.path.insert(
        0, str(BUILT_SOURCES if BUILT_SOURCES.is_dir() else HERE.parent / "src")
    )

    import wisteriapulley.clocks  # noqa: F401  (records when the process started)
    from wisteriapulley.platform.daemons import main

    return main(role, str(HERE / "fleet.key"))


if __name__ == "__main__":
    sys.exit(start(sys.argv[1]))
