"""The home of a request id: the one failure domain that decides it."""

from collections.abc import Callable, Sequence

SEPARATOR = '~'


def home_domain(
    request_id: str,
    domains: Sequence[str],
    digest: Callable[[str], int],
) -> str:
    """Return the failure domain that alone decides ``request_id``.

    An id may name its home before the separator; any other id gets the
    domain of the highest digest, so that a domain added later takes over
    only the ids that it wins.
    """
    named, found, _ = request_id.partition(SEPARATOR)
    if found and named in domains:
        return named
    return max(domains, key=lambda domain: digest(f'{domain}/{request_id}'))


def new_request_id(domain: str, token: str) -> str:
    """Return an id that names ``domain`` as its home."""
    return f'{domain}{SEPARATOR}{token}'
