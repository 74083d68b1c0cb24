"""Strategies of messages with odd values, for fuzzing."""

import copy
from collections.abc import Iterator
from typing import Any

from hypothesis import strategies as st

from standins.odd_messages import WIDE_INTEGER, encode


def _places(document: Any, path: tuple = ()) -> Iterator[tuple]:
    """Yield the path of every value in a document."""
    yield path
    if isinstance(document, dict):
        children = document.items()
    elif isinstance(document, list):
        children = enumerate(document)
    else:
        return
    for key, child in children:
        yield from _places(child, (*path, key))


def _replaced(document: Any, path: tuple, odd: Any) -> Any:
    if not path:
        return odd
    changed = copy.deepcopy(document)
    place = changed
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = odd
    return changed


_ODD_VALUES = st.one_of(
    st.integers(),
    st.sampled_from((
        *(0, -1, 2**31, 2**53, 2**63 - 1, 2**63, 2**64, -(2**63) - 1),
        *(WIDE_INTEGER, -WIDE_INTEGER, 10**400, 1e300, -1e300, 1e-300),
        *(None, True, False, '', 'x' * 10_000, '\ud800', '\x00', 'a\r\nb'),
        *([], {}, [[]], [{}], list(range(400)), '127.0.0.1:99999', '١٢', '1.5'),
    )),
    st.text(max_size=20),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda child: (
            st.lists(child, max_size=4)
            | st.dictionaries(st.text(max_size=5), child, max_size=4)
        ),
        max_leaves=8,
    ),
)


@st.composite
def odd_documents(draw: Any, document: Any) -> bytes:
    """Draw a document with odd values in one to three places."""
    for _ in range(draw(st.integers(1, 3))):
        places = list(_places(document))
        path = draw(st.sampled_from(places))
        document = _replaced(document, path, draw(_ODD_VALUES))
    return encode(document)


@st.composite
def odd_bytes(draw: Any, document: Any) -> bytes:
    """Draw the bytes of a document with some of them changed or missing."""
    raw = encode(document)
    for _ in range(draw(st.integers(1, 5))):
        at = draw(st.integers(0, len(raw)))
        gone = draw(st.integers(0, 4))
        raw = b''.join((
            raw[:at],
            draw(st.binary(max_size=4)),
            raw[at + gone :],
        ))
    return raw


def odd_messages(document: Any) -> st.SearchStrategy[bytes]:
    """Return a strategy of messages like ``document``, odd or unreadable."""
    return odd_documents(document) | odd_bytes(document)
