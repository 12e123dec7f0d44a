"""Token bucket that bounds the rate of an action, such as sending messages."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Tokens that accrue at a fixed rate up to a bound."""

    __slots__ = ("_burst", "_rate", "_refilled_at", "_tokens")

    def __init__(self, rate: float, burst: float) -> None:
        """Creates a full bucket.

        Args:
            rate: Tokens gained per ms.
            burst: Greatest number of tokens held.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0

    def take(self, now: int, count: int = 1) -> bool:
        """Takes tokens if there are enough.

        Args:
            now: Time in ms.
            count: Number of tokens.

        Returns:
            Whether the tokens were taken.
        """
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
