"""Events of learned runtimes and of copies of tasks (742 to 747)."""

from primroseledge.observability.event_info import info

RUNTIME_LEARNED_INFO = info(
    742,
    'tasks {kind} of workspace {workspace} with {cpu} thousandths of a '
    'processor take {ratio} times their estimate, one in ten {high} times or '
    'more, by the last {runs} runs',
    'Enough runs ended, or their times have changed; later estimates of such '
    'tasks are corrected by this ratio.',
    'For a ratio far from 1, tell the workspace.',
)
