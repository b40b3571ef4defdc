"""Build and start by the deploy file in a clean checkout, without the users' kit."""

import math
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from wisteriapulley.build import digest_of, read_build

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
BUILD_TIMEOUT_S = 600


@pytest.fixture(scope="module")
def checkout(tmp_path_factory):
    """Build in an empty folder that holds only what the build needs."""
    folder = tmp_path_factory.mktemp("checkout")
    for name in ("src", "deploy"):
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / name, folder / name, ignore=ignored)
    shutil.copy(ROOT / "requirements.txt", folder)
    subprocess.run(
        DEPLOY["build"], shell=True, cwd=folder, check=True, timeout=BUILD_TIMEOUT_S
    )
    return folder


def run_code(checkout, code):
    """Run code in a built checkout, in the environment of a daemon's start."""
    subprocess.run(
        [sys.executable, "-S", "-c", code],
        cwd=checkout,
        env={"PATH": os.environ["PATH"], "PYTHONPATH": "target/deps"},
        check=True,
        timeout=BUILD_TIMEOUT_S,
    )


class TestDeployFile:
    def test_roles(self):
        roles = DEPLOY["roles"]
        assert {name: role["on"] for name, role in roles.items()} == {
            "entry": "frontend",
            "control": "frontend",
            "sidecar": "side",
        }
        for name, role in roles.items():
            program, option, script, argument = role["run"].split()
            assert (program, option, argument) == ("python3", "-S", name)
            assert (ROOT / script).is_file()

    @pytest.mark.parametrize(
        "instances,with_disk", [(2, 1), (3, 1), (4, 2), (5, 2), (6, 2), (7, 2)]
    )
    def test_every_instance_with_a_disk_is_a_control_instance(
        self, instances, with_disk
    ):
        """With one per failure domain, a failure of two leaves no majority."""
        share = DEPLOY["roles"]["control"]["share"]
        assert math.ceil(share * instances) == with_disk

    def test_clean_build_starts_every_role(self, checkout):
        assert set(os.listdir(checkout / "target")) == {"deps", "app"}
        for role in DEPLOY["roles"]:
            done = subprocess.run(
                [sys.executable, "-S", "deploy/run.py", role],
                cwd=checkout,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": "target/deps",
                    "WISTERIAPULLEY_CONFIG": str(checkout / "none.toml"),
                },
                capture_output=True,
                text=True,
                timeout=BUILD_TIMEOUT_S,
            )
            assert (done.returncode, done.stderr[:5]) == (1, "WP100")

    def test_build_is_named_by_the_sources_that_it_was_made_of(self, checkout):
        """A log of another build must not be taken for one of this build."""
        built = read_build(checkout / "target" / "app" / "wisteriapulley")
        assert built.digest == digest_of(ROOT / "src" / "wisteriapulley")

    def test_stop_during_the_imports_exits_cleanly(self, tmp_path):
        """Soak seed 1924131696: a process that was stopped then exited with -15."""
        shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
        slow = tmp_path / "target" / "app" / "wisteriapulley"
        slow.mkdir(parents=True)
        (slow / "__init__.py").write_text("")
        text = "import time\nprint('importing', flush=True)\ntime.sleep(600)\n"
        (slow / "clocks.py").write_text(text)
        process = subprocess.Popen(
            [sys.executable, "-S", "deploy/run.py", "entry"],
            cwd=tmp_path,
            stdout=subprocess.PIPE,
        )
        assert process.stdout.readline() == b"importing\n"
        process.terminate()
        assert process.wait(BUILD_TIMEOUT_S) == 0
        process.stdout.close()

    def test_second_stop_during_the_imports_exits_cleanly(self, tmp_path):
        """Python drops signal handlers before it has ended; soak seed 1706146021."""
        shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
        slow = tmp_path / "target" / "app" / "wisteriapulley"
        slow.mkdir(parents=True)
        (slow / "__init__.py").write_text("")
        text = (
            "import os, sys, time\n"
            "class Ending:\n"
            "    def __del__(self, write=os.write, sleep=time.sleep):\n"
            "        write(1, b'ending\\n')\n"
            "        sleep(0.5)\n"
            "sys.ending = Ending()\n"
            "print('importing', flush=True)\n"
            "time.sleep(600)\n"
        )
        (slow / "clocks.py").write_text(text)
        process = subprocess.Popen(
            [sys.executable, "-S", "deploy/run.py", "entry"],
            cwd=tmp_path,
            stdout=subprocess.PIPE,
        )
        for line in (b"importing\n", b"ending\n"):
            assert process.stdout.readline() == line
            process.terminate()
        assert process.wait(BUILD_TIMEOUT_S) == 0
        process.stdout.close()

    def test_start_skips_what_no_daemon_uses(self, checkout):
        """A start reads no certificates of authorities and imports no coloured logs."""
        code = (
            "import runpy, sys, ssl\n"
            "run = runpy.run_path('deploy/run.py')\n"
            "run['skip_unused_imports']()\n"
            "sys.path.insert(0, 'target/app')\n"
            "import aiohttp, aiomisc\n"
            "assert sys.modules['rich'] is None\n"
            "context = ssl.create_default_context()\n"
            "assert context.cert_store_stats()['x509_ca'] == 0\n"
        )
        run_code(checkout, code)

    def test_entry_that_waits_for_control_has_imported_little(self, checkout):
        """It shares the processor with the control instance that others wait for."""
        code = (
            "import sys\n"
            "sys.path.insert(0, 'target/app')\n"
            "import wisteriapulley.platform.daemons\n"
            "assert not {'asyncio', 'aiohttp', 'aiomisc', 'capnp'} & set(sys.modules)\n"
        )
        run_code(checkout, code)

    def test_second_build_installs_nothing(self, checkout):
        stamp = (checkout / "target" / "deps").stat().st_mtime_ns
        subprocess.run(
            DEPLOY["build"],
            shell=True,
            cwd=checkout,
            check=True,
            timeout=BUILD_TIMEOUT_S,
        )
        assert (checkout / "target" / "deps").stat().st_mtime_ns == stamp
