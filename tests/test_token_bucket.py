"""Token bucket: a rate with a bounded burst."""

from wisteriapulley.policy.token_bucket import TokenBucket


class TestTokenBucket:
    def test_burst_then_rate(self):
        bucket = TokenBucket(2.0, 3.0)
        assert [bucket.take(10.0) for _ in range(4)] == [True] * 3 + [False]
        assert not bucket.take(10.4)
        assert bucket.take(10.6)
        assert not bucket.take(10.6)

    def test_idle_bucket_fills_only_to_burst(self):
        bucket = TokenBucket(2.0, 3.0)
        assert all(bucket.take(10.0) for _ in range(3))
        assert [bucket.take(1000.0) for _ in range(4)] == [True] * 3 + [False]

    def test_clock_going_back_adds_nothing(self):
        bucket = TokenBucket(1.0, 1.0)
        assert bucket.take(10.0)
        assert not bucket.take(5.0)
        assert not bucket.take(10.5)
        assert bucket.take(11.0)

    def test_no_rate(self):
        bucket = TokenBucket(0.0, 1.0)
        assert bucket.take(0.0)
        assert not bucket.take(1e9)
