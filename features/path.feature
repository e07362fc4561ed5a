Feature: A request's way through the processes
  Real processes on loopback: the key-value service, upstreams and
  entry instances.

  Background:
    Given path: a deployment with 2 entry instances and 2 upstreams

  Scenario: An answer is whole and the caller's own
    When path: 20 idempotent requests are sent with the team's key
    Then path: every request is answered whole
    And path: the ledgers show each request once

  Scenario: A withdrawn key stops everywhere within three seconds
    When path: the team's key is withdrawn
    Then path: within 3 seconds every entry instance refuses the key

  Scenario: A key that nobody gave is refused as not run
    When path: a request is sent with the key "0123.4567"
    Then path: it is refused with status 401 and outcome "not_run"

  Scenario: A non-idempotent request whose answer is lost runs once
    Given path: every upstream loses its next answer after the run
    When path: 1 non-idempotent request is sent with the team's key
    Then path: the caller is told "unknown"
    And path: the ledgers show each request once
