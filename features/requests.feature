Feature: Requests under repetition and burst
  Real processes on loopback.

  Background:
    Given path: a deployment with 2 entry instances and 1 upstreams

  Scenario: An id that comes again through another instance runs once
    When requests: one POST with the same id goes to every entry instance
    Then requests: one sending is answered and the others are told "ran"
    And requests: the ledger shows 1 execution

  Scenario: A full upstream's refusal is not passed on
    Given requests: the upstream's slots are taken for 1 second by others
    When path: 1 non-idempotent request is sent with the team's key
    Then path: every request is answered whole
