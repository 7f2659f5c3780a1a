"""Which of the others on the ring a daemon links to. Pure."""

from __future__ import annotations

FULL_MESH_MEMBERS = 12
"""Up to so many, all link to all: nothing has to be passed on."""


def ring_places(members: int, links: int) -> list[int]:
    """Return which of the others, in ring order, to link to.

    With few others these are all of them; else the distances grow by the
    ``links``-th root of their number.
    """
    if members < FULL_MESH_MEMBERS or members <= links:
        return list(range(members))
    places: list[int] = []
    for index in range(links):
        place = round(members ** (index / links)) - 1
        places.append(max(place, places[-1] + 1 if places else 0))
    return places
