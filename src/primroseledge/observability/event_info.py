"""What a log event says, means and asks of an operator."""

from dataclasses import dataclass
from logging import ERROR
from logging import getLevelName
from logging import INFO
from logging import WARNING
from string import Formatter


@dataclass(frozen=True, slots=True)
class EventInfo:
    """What one event says, means and asks of an operator."""

    number: int
    level: int
    template: str
    meaning: str
    advice: str

    @property
    def level_name(self) -> str:
        """Return the name of the level, such as ``INFO``."""
        return str(getLevelName(self.level))

    @property
    def fields(self) -> tuple[str, ...]:
        """Return the names of the fields in the template."""
        parsed = Formatter().parse(self.template)
        return tuple(name for _, name, _, _ in parsed if name)


def info(number: int, template: str, meaning: str, advice: str) -> EventInfo:
    """Describe an event of level INFO."""
    return EventInfo(number, INFO, template, meaning, advice)


def warning(
    number: int, template: str, meaning: str, advice: str
) -> EventInfo:
    """Describe an event of level WARNING."""
    return EventInfo(number, WARNING, template, meaning, advice)


def error(number: int, template: str, meaning: str, advice: str) -> EventInfo:
    """Describe an event of level ERROR."""
    return EventInfo(number, ERROR, template, meaning, advice)
