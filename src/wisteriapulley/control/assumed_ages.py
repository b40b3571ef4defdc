"""Ages of versions of weights that nobody witnessed, in messages. Pure.

They are on the safe side: older than any age at which a superseded version may serve.
"""

from wisteriapulley.wire import messages

# Age assumed of versions that are restored from disk: longer than a superseded version
# may serve.
RESTORED_AGE_S = 3600.0


def with_assumed(news: messages.ModelNews) -> messages.ModelNews:
    """Mark ages that an instance of an earlier release has assumed.

    It has no flag for that, and gives versions of its disk this age.
    """
    return messages.ModelNews(
        tuple(
            state._replace(
                named=tuple(
                    desired._replace(assumed=desired.age_ms >= RESTORED_AGE_S * 1000)
                    for desired in state.named
                )
            )
            for state in news.models
        )
    )


def without_assumed(news: messages.ModelNews) -> messages.ModelNews:
    """Return a message without the versions whose age is only assumed."""
    return messages.ModelNews(
        tuple(
            state._replace(named=tuple(v for v in state.named if not v.assumed))
            for state in news.models
        )
    )
