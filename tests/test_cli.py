import json
import signal
import socket
import subprocess
import sys
import time

import pytest

from tests.fleet import ROOT


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "wisteriapulley.cli", *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={"PYTHONPATH": str(ROOT / "src")},
        check=False,
    )


def wait_for_handler(pid):
    """Wait until a process has a SIGTERM handler, according to /proc."""
    mask = 1 << (signal.SIGTERM - 1)
    while True:
        with open(f"/proc/{pid}/status") as status:
            caught = next(line for line in status if line.startswith("SigCgt"))
        if int(caught.split()[1], 16) & mask:
            return
        time.sleep(0.01)


class TestCommandLine:
    def test_version(self):
        assert "0.1.0" in run("--version").stdout

    def test_help_names_units(self):
        assert "seconds" in run("catalogue", "apply", "--help").stdout

    @pytest.mark.parametrize("role", ["entry", "sidecar"])
    def test_invalid_settings_exit_with_their_code(self, tmp_path, role):
        path = tmp_path / "s.json"
        path.write_text(json.dumps({"node_id": 1}))
        result = run(role, str(path))
        assert (result.returncode, result.stderr[:5]) == (1, "WP101")

    def test_address_in_use_exits_with_its_code(self, tmp_path):
        key = tmp_path / "fleet.key"
        key.write_text("k" * 64)
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            settings = {
                "node_id": "entry-1",
                "failure_domain": "palermo",
                "http_listen": f"127.0.0.1:{taken.getsockname()[1]}",
                "fleet_key_file": str(key),
                "control": ["127.0.0.1:1"],
            }
            path = tmp_path / "s.json"
            path.write_text(json.dumps(settings))
            result = run("entry", str(path))
        assert result.returncode == 1
        assert "WP102" in result.stderr

    @pytest.fixture
    def daemon(self, tmp_path):
        """Start an entry and wait until it handles signals."""
        key = tmp_path / "fleet.key"
        key.write_text("k" * 64)
        settings = {
            "node_id": "entry-1",
            "failure_domain": "palermo",
            "http_listen": "127.0.0.1:0",
            "fleet_key_file": str(key),
            "control": ["127.0.0.1:1"],
        }
        path = tmp_path / "s.json"
        path.write_text(json.dumps(settings))
        daemon = subprocess.Popen(
            [sys.executable, "-m", "wisteriapulley.daemon", "entry", str(path)],
            cwd=ROOT,
            env={"PYTHONPATH": str(ROOT / "src")},
            stderr=subprocess.PIPE,
        )
        wait_for_handler(daemon.pid)
        yield daemon
        daemon.kill()
        daemon.wait()
        daemon.stderr.close()

    def test_signals_during_shutdown_have_no_effect(self, daemon):
        # Python removes its signal handlers before the process ends. A signal in
        # between must not change the exit status.
        while daemon.poll() is None:
            daemon.send_signal(signal.SIGTERM)
        assert daemon.returncode == 0

    def test_hangup_does_not_end_requests(self, daemon):
        """Its settings are read at the start only, so it has nothing to reload."""
        daemon.send_signal(signal.SIGHUP)
        daemon.send_signal(signal.SIGTERM)
        assert daemon.wait() == 0

    def test_settings_check(self, tmp_path):
        result = run("settings", "check", "entry", str(tmp_path / "none.json"))
        assert (result.returncode, result.stderr[:5]) == (1, "WP100")

    def test_manifest_build_then_verify(self, tmp_path):
        tree = tmp_path / "tree"
        tree.mkdir()
        (tree / "w.bin").write_bytes(b"x" * 100)
        manifest = str(tmp_path / "manifest.json")
        built = run("manifest", "build", str(tree), manifest)
        assert len(built.stdout.strip()) == 64
        assert run("manifest", "verify", str(tree), manifest).returncode == 0
        (tree / "w.bin").write_bytes(b"y" * 100)
        assert run("manifest", "verify", str(tree), manifest).stderr[:5] == "WP501"

    def test_wrong_usage_exits_with_two(self):
        assert run("catalogue", "explode").returncode == 2
