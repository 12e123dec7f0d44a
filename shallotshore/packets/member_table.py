"""A balancer's table of the other balancers that it knows."""

from __future__ import annotations

__all__ = ["MemberTable"]

from array import array

from shallotshore.tables import Table

MAX_MEMBER_ROWS = 20_000  # the system is planned for 14,000 balancers


class MemberTable(Table):
    """Balancers by host.

    Columns:
        last_seen_at: Time of the last message from the balancer, in ms. For a balancer that is
            known only because others have named it, the time when it was first named less half
            the expiry time.
        data_centre: Id of the balancer's data centre; 0 until it is known.
    """

    __slots__ = ("data_centre", "last_seen_at")

    COLUMNS = {"last_seen_at": "q", "data_centre": "Q"}

    last_seen_at: array[int]
    data_centre: array[int]

    def __init__(self) -> None:
        super().__init__(MAX_MEMBER_ROWS)

    def hosts_in(self, data_centre: int) -> list[int]:
        """Returns the balancers that are known to be in a data centre."""
        return [self.key[row] for row in self.rows() if self.data_centre[row] == data_centre]
