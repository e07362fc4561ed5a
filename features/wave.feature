Feature: A maintenance wave through the processes
  Real processes on loopback: the platform, the key-value service,
  upstreams and entry instances, under a light load of callers.

  Scenario: A wave outlives its owner and cuts nothing
    Given wave: 3 entry instances and 4 upstreams on a platform
    And wave: the budget allows 2 stops at once and 1 in a zone
    And wave: callers send requests that run for 1.5 seconds
    When wave: an operator starts a wave
    And wave: the owner is killed when an instance has returned
    And wave: the wave has ended
    And wave: the callers stop
    Then wave: each instance was rebooted once
    And wave: no reboot cut a request
    And wave: the budget was never exceeded
    And wave: every idempotent request is answered
    And wave: others are too, but those whose ids the takeover lost
    And wave: every answer agrees with the ledgers

  Scenario: An upstream that the platform takes away gets no new work
    Given wave: 2 entry instances and 2 upstreams on a platform
    And wave: callers send requests that run for 0.1 seconds
    When wave: the platform announces that an upstream leaves
    And wave: the callers stop after 5 seconds
    Then wave: the upstream got work before and none after 3 seconds
    And wave: every request is answered
    And wave: every entry instance explains to an operator that it leaves
    And wave: without an operator key nothing is explained
