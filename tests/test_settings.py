import json

import pytest

from wisteriapulley.errors import ResultCode, SettingsError
from wisteriapulley.settings import Address, load_settings

VALID = {
    "node_id": "entry-1",
    "failure_domain": "palermo",
    "http_listen": "127.0.0.1:8080",
    "fleet_key_file": "fleet.key",
    "control": ["127.0.0.1:7000"],
}


class TestSettings:
    def load(self, tmp_path, role="entry", **changes):
        path = tmp_path / "settings.json"
        path.write_text(json.dumps({**VALID, **changes}))
        return load_settings(str(path), role)

    def load_error(self, tmp_path, role="entry", **changes):
        with pytest.raises(SettingsError) as caught:
            self.load(tmp_path, role, **changes)
        assert str(tmp_path) in caught.value.message
        return caught.value

    def test_valid_settings(self, tmp_path):
        settings = self.load(tmp_path)
        assert settings.control == (Address("127.0.0.1", 7000),)

    @pytest.mark.parametrize(
        ("changes", "key"),
        [
            ({"colour": 1}, "colour"),
            ({"heartbeat_ms": "1s"}, "heartbeat_ms"),
            ({"http_listen": "localhost:80"}, "http_listen"),
            ({"silence_ms": 1}, "silence_ms"),
            ({"drain_ms": 0}, "drain_ms"),
        ],
    )
    def test_error_names_the_key(self, tmp_path, changes, key):
        error = self.load_error(tmp_path, **changes)
        assert error.code == ResultCode.SETTINGS_INVALID
        assert key in error.message

    def test_missing_file(self, tmp_path):
        with pytest.raises(SettingsError) as caught:
            load_settings(str(tmp_path / "none.json"), "entry")
        assert caught.value.code == ResultCode.SETTINGS_UNREADABLE

    def test_same_address_for_two_listeners(self, tmp_path):
        error = self.load_error(
            tmp_path,
            "sidecar",
            wire_listen="127.0.0.1:8080",
            service="s",
            target_url="http://127.0.0.1:1",
        )
        assert error.code == ResultCode.ADDRESS_CLASH

    def test_missing_data_folder(self, tmp_path):
        path = tmp_path / "settings.json"
        control = {k: v for k, v in VALID.items() if k != "control"}
        control |= {
            "wire_listen": "127.0.0.1:7000",
            "data_folder": str(tmp_path / "no"),
            "operators_file": "operators.json",
        }
        path.write_text(json.dumps(control))
        with pytest.raises(SettingsError) as caught:
            load_settings(str(path), "control")
        assert caught.value.code == ResultCode.DATA_FOLDER_MISSING
