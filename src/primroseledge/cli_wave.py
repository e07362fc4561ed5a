"""Commands about maintenance waves."""

from click import argument
from click import group
from click import option

from primroseledge.changes import order_wave
from primroseledge.changes import set_wave_mode
from primroseledge.console import Console
from primroseledge.console import operator_command
from primroseledge.documents import WaveMode
from primroseledge.documents import WaveOrder


@group()
def wave() -> None:
    """Maintenance waves."""


@wave.command()
@argument('wave_id', metavar='WAVE')
@option('--image', required=True, help='What instances boot into.')
@option('--previous-image', required=True, help='What a rollback boots.')
@option('--pool', 'pool_id', default='', help='One pool; else all.')
@option('--width', type=int, default=0, help='Most in flight in a pool.')
@operator_command
def start(
    console: Console,
    wave_id: str,
    image: str,
    previous_image: str,
    pool_id: str,
    width: int,
) -> None:
    """Start a wave; availability budgets hold throughout."""
    console.apply(
        lambda fleet: order_wave(
            fleet, wave_id, pool_id, image, previous_image, width
        )
    )


@wave.command()
@argument('wave_id', metavar='WAVE')
@operator_command
def halt(console: Console, wave_id: str) -> None:
    """Start no further instance; those in flight return."""
    console.apply(lambda fleet: set_wave_mode(fleet, wave_id, WaveMode.HALT))


@wave.command()
@argument('wave_id', metavar='WAVE')
@operator_command
def resume(console: Console, wave_id: str) -> None:
    """Go on with a halted wave."""
    console.apply(lambda fleet: set_wave_mode(fleet, wave_id, WaveMode.RUN))


@wave.command()
@argument('wave_id', metavar='WAVE')
@operator_command
def rollback(console: Console, wave_id: str) -> None:
    """Return the wave's instances to the previous image."""
    console.apply(
        lambda fleet: set_wave_mode(fleet, wave_id, WaveMode.ROLLBACK)
    )


@wave.command()
@operator_command
def status(console: Console) -> None:
    """Show what was asked of each wave."""
    rows = [
        {
            'wave': item.id,
            'pool': item.pool or 'all',
            'mode': item.mode.value,
            'image': item.image,
            'previous_image': item.previous_image,
            'width': item.width,
        }
        for item in console.read_fleet().each(WaveOrder)
    ]
    console.show_table(rows, 'wave', 'pool', 'mode', 'image', 'width')
