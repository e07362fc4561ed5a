"""Constants of the protocol between entry instances, with their units."""

from typing import Final

GRANT_VALID_S: Final = 1.5
"""How old a grant may be, by the receiver's clock, to be used."""

RUN_MARGIN_S: Final = 0.5
"""Added to a run limit before an unproved attempt counts as ended."""

ASK_RESEND_S: Final = 1.0
"""An unanswered Ask is sent again after this time."""

DONE_RESEND_S: Final = 0.5
"""An unacknowledged Done is sent again after this time."""

MIN_ATTEMPT_S: Final = 0.05
"""A request with less time left than this is not started."""

STALE_GRANT_PAUSE_S: Final = 0.1
"""How long to wait before asking again after a grant came too late."""
