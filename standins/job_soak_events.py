"""What goes wrong, or is planned, during a soak on the job path."""

from time import sleep
from typing import Final

from standins.fault_proxy import FaultProxy
from standins.job_soak_disturber import Disturbance
from standins.job_soak_disturber import fault
from standins.job_soak_disturber import FAULTS
from standins.job_soak_disturber import run_all
from standins.job_soak_fleet import WORKER_CPU_MILLIS
from standins.job_soak_site import POOLS
from standins.proxy_link import Direction

__all__ = ('FAULTS',)

DRAIN_S: Final = 2.5


@fault
def restart_idle_workers(d: Disturbance) -> None:
    """Workers with few runs restart in place, one after another."""
    for _ in range(d.random.randint(8, 16)):
        gap_s = d.random.uniform(0.05, 0.3)
        d.restart(d.machine_by_load(is_busy=False), gap_s)
        sleep(d.random.uniform(0.05, 0.4))


@fault
def restart_busy_workers(d: Disturbance) -> None:
    """Workers with many runs restart in place, one after another."""
    for _ in range(d.random.randint(2, 5)):
        d.restart(d.machine_by_load(is_busy=True), d.gap_s())
        sleep(d.random.uniform(0.1, 0.6))


@fault
def restart_one_worker_often(d: Disturbance) -> None:
    """One worker restarts in place again and again."""
    machine = d.machine()
    for _ in range(d.random.randint(3, 6)):
        d.restart(machine, d.random.uniform(0.05, 0.3))
        sleep(d.random.uniform(0.05, 1.2))


@fault
def restart_many_workers(d: Disturbance) -> None:
    """Half of the workers restart in place at once."""
    machines = d.random.sample(sorted(d.fleet.workers), 5)
    gap_s = d.gap_s()
    with d.struck('restart_many_workers', ' '.join(machines)):
        for machine in machines:
            d.fleet.change_life(machine, end='crash', begin_after_s=gap_s)
        sleep(gap_s + 0.02)


@fault
def crash_worker(d: Disturbance) -> None:
    """A worker's process is killed, and comes back under its id."""
    machine, gap_s = d.machine(), d.gap_s()
    with d.struck('crash_worker', machine):
        d.fleet.crash_worker(machine, gap_s)


@fault
def replace_worker(d: Disturbance) -> None:
    """A worker's process is killed, and comes back under a new id."""
    machine, gap_s = d.machine(), d.gap_s()
    name = f'w-{machine}-n{d.random.randrange(10**6)}'
    with d.struck('replace_worker', machine):
        d.fleet.crash_worker(machine, gap_s, name)


@fault
def drain_worker(d: Disturbance) -> None:
    """A worker drains and leaves; another one joins in its place."""
    machine, gap_s = d.machine(), d.gap_s()
    name = f'w-{machine}-d{d.random.randrange(10**6)}'
    if d.load_of(machine) < 0:
        return
    d.fleet.change_life(
        machine, drain_s=DRAIN_S, end='left', begin_after_s=gap_s, id=name
    )
    sleep(DRAIN_S + gap_s + 0.1)
    if d.fleet.life_of(machine)['id'] == name:
        d.fleet.rename_worker(machine, name)


@fault
def pause_workers(d: Disturbance) -> None:
    """Workers are paused at once, some for longer than their lease."""
    machines = d.some(list(d.fleet.workers), 2)
    seconds = d.random.choice((0.5, 2.0, 7.0))
    with d.struck('pause_workers', ' '.join(machines)):
        run_all([(d.fleet.pause_worker, (m, seconds)) for m in machines])


@fault
def shrink_workers(d: Disturbance) -> None:
    """The capacity of some workers shrinks, and grows again."""
    machines = d.some(list(d.fleet.workers), 4)
    seconds = d.random.uniform(2.0, 7.0)
    cpu_millis = d.random.choice((0, 1000, 3000))
    with d.struck('shrink_workers', ' '.join(machines)):
        for machine in machines:
            d.fleet.change_life(machine, cpu_millis=cpu_millis)
        sleep(seconds)
        for machine in machines:
            d.fleet.change_life(machine, cpu_millis=WORKER_CPU_MILLIS)


@fault
def pause_owner(d: Disturbance) -> None:
    """The owner is paused."""
    seconds = d.random.choice((0.3, 0.8, 2.5, 6.0))
    name = d.owner()
    with d.struck('pause_owner', name):
        d.fleet.entries.pause(name, seconds)


@fault
def pause_entry(d: Disturbance) -> None:
    """Some entry instance is paused."""
    name = d.entry()
    seconds = d.random.uniform(0.3, 4.0)
    with d.struck('pause_entry', name):
        d.fleet.entries.pause(name, seconds)


@fault
def kill_owner(d: Disturbance) -> None:
    """The owner is killed, and started again."""
    name = d.owner()
    with d.struck('kill_owner', name):
        d.fleet.entries.kill(name, d.random.uniform(0.1, 1.0))


@fault
def terminate_owner(d: Disturbance) -> None:
    """The owner is asked to leave, and started again."""
    name = d.owner()
    with d.struck('terminate_owner', name):
        d.fleet.entries.terminate(name, d.random.uniform(0.1, 1.0))


@fault
def restart_entries_in_turn(d: Disturbance) -> None:
    """Entry instances are killed and started again, in turn."""
    for name in sorted(d.fleet.entries.settings)[:3]:
        with d.struck('restart_entries_in_turn', name):
            d.fleet.entries.kill(name, d.random.uniform(0.0, 0.5))
        sleep(d.random.uniform(0.2, 1.0))


@fault
def slow_store(d: Disturbance) -> None:
    """The store answers late."""
    delay_s = d.random.choice((0.1, 0.3, 0.7))
    d.hold('slow_store', 'store', d.fleet.store, delay_s=delay_s)


@fault
def store_down(d: Disturbance) -> None:
    """The store answers nobody; leases pause or lapse."""
    how = d.random.choice(('refuse', 'reset', 'silent'))
    does_lapse = d.random.random() < 0.3
    d.hold(
        'store_down', 'store', d.fleet.store, down=how, does_lapse=does_lapse
    )


@fault
def lost_store_answers(d: Disturbance) -> None:
    """Writes are carried out, or are later, without an answer."""
    how = d.random.choice(('done', 'late'))
    d.hold('lost_store_answers', 'store', d.fleet.store, lose=how)


@fault
def refused_worker_list(d: Disturbance) -> None:
    """The store refuses reads of the workers' entries."""
    d.hold(
        'refused_worker_list',
        'store',
        d.fleet.store,
        refused_prefix='servers/',
    )


@fault
def store_refuses_owner(d: Disturbance) -> None:
    """The store answers all but the owner."""
    name = d.owner()
    number = sorted(d.fleet.entries.settings).index(name)
    how = d.random.choice(('refuse', 'reset', 'silent'))
    d.hold(
        'store_refuses_owner',
        f'store {name}',
        d.fleet.store,
        down=how,
        callers=[number],
    )


@fault
def store_drops_history(d: Disturbance) -> None:
    """The store forgets its history while watches are cut."""
    with d.struck('store_drops_history', 'store'):
        for proxy in d.fleet.store_proxies.values():
            proxy.reset()
        d.fleet.tell(d.fleet.store, '/-/drop-history')


@fault
def slow_instances(d: Disturbance) -> None:
    """The service of instances answers late."""
    delay_s = d.random.choice((0.3, 0.8, 1.5))
    d.hold('slow_instances', 'instances', d.fleet.instances, delay_s=delay_s)


@fault
def lost_instance_answers(d: Disturbance) -> None:
    """Operations on instances begin without an answer."""
    d.hold(
        'lost_instance_answers',
        'instances',
        d.fleet.instances,
        loses_answers=True,
    )


@fault
def delayed_workers(d: Disturbance) -> None:
    """Bytes to and from some workers are late, or only those one way."""
    ways = d.random.choice((tuple(Direction), *((way,) for way in Direction)))
    delay_s = d.random.choice((0.1, 0.3, 0.6, 1.2))
    proxies = worker_proxies(d)
    seconds = d.random.uniform(1.0, 4.0)
    with d.struck('delayed_workers', ' '.join(proxies)):
        for proxy in proxies.values():
            for way in ways:
                proxy.delay(way, delay_s, delay_s / 2)
        sleep(seconds)
        heal(proxies)


@fault
def silent_workers(d: Disturbance) -> None:
    """Connections to some workers fall silent; in some cases for good."""
    proxies = worker_proxies(d)
    ways = d.random.choice((tuple(Direction), *((way,) for way in Direction)))
    is_for_good = d.random.random() < 0.5
    seconds = d.random.uniform(0.5, 3.0)
    with d.struck('silent_workers', ' '.join(proxies)):
        for proxy in proxies.values():
            strike = proxy.silence_open if is_for_good else proxy.silence
            strike(*ways)
        sleep(seconds)
        if not is_for_good:
            heal(proxies)


@fault
def reset_workers(d: Disturbance) -> None:
    """Connections to some workers are reset, more than once."""
    proxies = worker_proxies(d)
    with d.struck('reset_workers', ' '.join(proxies)):
        for _ in range(3):
            for proxy in proxies.values():
                proxy.reset()
            sleep(d.random.uniform(0.1, 0.6))


@fault
def impaired_store(d: Disturbance) -> None:
    """The owner's connections to the store are late, silent or reset."""
    name = d.owner()
    proxy = d.fleet.store_proxies[name]
    kind = d.random.choice(('delay', 'silence', 'reset', 'refuse'))
    way = d.random.choice(tuple(Direction))
    seconds = d.random.uniform(0.5, 3.0)
    with d.struck('impaired_store', f'store {name}'):
        if kind == 'delay':
            proxy.delay(way, 0.3, 0.3)
        elif kind == 'silence':
            proxy.silence(way)
        elif kind == 'refuse':
            proxy.refuse()
        proxy.reset() if kind in ('reset', 'refuse') else None
        sleep(seconds)
        proxy.heal()


@fault
def reload_settings(d: Disturbance) -> None:
    """All entry instances are told that their settings have changed."""
    for name in sorted(d.fleet.entries.settings):
        d.fleet.entries.reload(name)


@fault
def change_configuration(d: Disturbance) -> None:
    """A new version of the configuration is written."""
    d.fleet.configure()


@fault
def start_wave(d: Disturbance) -> None:
    """Some machines are to be maintained, one at a time."""
    machines = [m for m in d.fleet.workers if m.startswith(POOLS)]
    d.fleet.start_wave(d.some(machines, 3))


def worker_proxies(d: Disturbance) -> dict[str, FaultProxy]:
    """Return the proxies of some workers, by machine."""
    proxies = {
        machine: worker.proxy
        for machine, worker in d.fleet.workers.items()
        if worker.proxy is not None
    }
    return {name: proxies[name] for name in d.some(list(proxies), 3)}


def heal(proxies: dict[str, FaultProxy]) -> None:
    """End all faults of proxies."""
    for proxy in proxies.values():
        proxy.heal()
