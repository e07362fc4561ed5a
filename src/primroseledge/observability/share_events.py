"""Events of the shares of workspaces (727 to 731)."""

from primroseledge.observability.event_info import info

SHARES_APPLIED_INFO = info(
    727,
    '{steps} steps at service {service} go behind others: {count} workspaces '
    'have their share, {level} a weight: {workspaces}',
    'The service is short of capacity, and the weights of workspaces differ; '
    'a level is the largest share of all processors, memory or accelerators, '
    'divided by the weight.',
    'If this lasts, see whether the service needs a larger pool.',
)
