"""Fingerprints of requests."""

import pytest

from wisteriapulley.policy.fingerprint import DIGEST_BYTES, fingerprint

KEY = b"k" * 40
SAME = (KEY, "host", "/path/", "account", b"body")


class TestFingerprint:
    def test_same_request_has_same_fingerprint(self):
        assert fingerprint(*SAME) == fingerprint(*SAME)
        assert len(fingerprint(*SAME)) == DIGEST_BYTES

    @pytest.mark.parametrize(
        "changed",
        [
            (b"other key" * 4, *SAME[1:]),
            (KEY, "other", "/path/", "account", b"body"),
            (KEY, "host", "/other/", "account", b"body"),
            (KEY, "host", "/path/", "other", b"body"),
            (KEY, "host", "/path/", "account", b"other"),
            # The same bytes, split at another place.
            (KEY, "host", "/path/a", "ccount", b"body"),
        ],
    )
    def test_different_request_has_different_fingerprint(self, changed):
        assert fingerprint(*changed) != fingerprint(*SAME)

    def test_long_key_is_accepted(self):
        assert fingerprint(b"k" * 500, *SAME[1:])
