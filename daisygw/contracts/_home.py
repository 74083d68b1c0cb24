"""Maps a request id to its home, the one failure domain that schedules it."""

from collections.abc import Callable, Sequence

SEPARATOR = '~'


def home_domain(
    request_id: str,
    domains: Sequence[str],
    digest: Callable[[str], int],
) -> str:
    """Return the failure domain that alone schedules ``request_id``.

    An id can name its home before the separator.  Other ids are assigned by
    rendezvous hashing: the domain with the highest ``digest`` wins, so a
    domain that is added later takes over only its own share of the ids.
    """
    prefix, separator, _ = request_id.partition(SEPARATOR)
    if separator and prefix in domains:
        return prefix
    return max(domains, key=lambda domain: digest(f'{domain}/{request_id}'))


def new_request_id(domain: str, token: str) -> str:
    """Return a request id whose home is ``domain``."""
    return f'{domain}{SEPARATOR}{token}'
