"""Short texts of errors for log lines and responses."""

import aiohttp

# Maximum length of a text: parsers quote the bytes that they did not accept.
MAX_CHARACTERS = 160


def describe_error(error: BaseException) -> str:
    """Return the type and the message of an error on one short line.

    The representation of an HTTP client's error has the headers of the request, which
    may be those of a caller, and all that its peer sent.
    """
    is_response = isinstance(error, aiohttp.ClientResponseError)
    message = error.message if is_response else str(error)
    text = " ".join(": ".join(filter(None, (type(error).__name__, message))).split())
    return text if len(text) <= MAX_CHARACTERS else text[: MAX_CHARACTERS - 3] + "..."
