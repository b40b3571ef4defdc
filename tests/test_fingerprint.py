"""Fingerprints of requests."""

import pytest

from wisteriapulley.policy.fingerprint import (
    DIGEST_BYTES,
    PART_PREFIX,
    fingerprint,
    is_part,
    part_fingerprint,
)

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


class TestPartFingerprint:
    def test_same_part_has_same_fingerprint(self):
        digest = part_fingerprint(KEY, "service", "5c1e")
        assert digest == part_fingerprint(KEY, "service", "5c1e")
        assert len(digest) == len(PART_PREFIX) + DIGEST_BYTES

    @pytest.mark.parametrize(
        "changed",
        [
            (b"other key" * 4, "service", "5c1e"),
            (KEY, "other", "5c1e"),
            (KEY, "service", "5c1f"),
            (KEY, "service5", "c1e"),
        ],
    )
    def test_different_part_has_different_fingerprint(self, changed):
        assert part_fingerprint(*changed) != part_fingerprint(KEY, "service", "5c1e")

    def test_is_told_from_the_fingerprint_of_a_request(self):
        assert is_part(part_fingerprint(KEY, "service", "5c1e"))
        assert not is_part(fingerprint(*SAME))
        assert not is_part(PART_PREFIX + b"r" * (DIGEST_BYTES - len(PART_PREFIX)))

    def test_id_that_is_no_text_is_accepted(self):
        assert part_fingerprint(
            KEY, "service", b"\xff".decode(errors="surrogateescape")
        )
