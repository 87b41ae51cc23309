Feature: A fleet of real processes keeps its promises under failures

  Scenario: Hosts are killed and started again
    Guards against a second run of a booking that is resent to another host (R3, R4, R5).
    Given a fleet of 9 hosts
    When for 8 s hosts are killed and started again while callers resend
    Then no key ran twice, nobody was told wrongly and no region went above its slots
