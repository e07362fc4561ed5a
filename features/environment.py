"""Owns what scenarios open."""

from contextlib import ExitStack
from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    context.resources = ExitStack()


def after_scenario(context: Any, scenario: Any) -> None:
    context.resources.close()
