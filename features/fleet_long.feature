@long
Feature: A fleet of real processes keeps its promises under long and random failures
  Guards R2, R3, R4 and R5 where a short run cannot: share epochs move on while hosts are paused,
  and failures of all kinds meet.

  Scenario: Hosts are paused until their shares are dealt out again
    Given 9 host processes
    And callers that book 120 times a second for 90 s and resend
    When 3 hosts are paused for 78 s and go on
    Then no key ran twice, nobody was told wrongly and no region went above its slots

  Scenario: Everything fails at random
    Given 9 host processes
    And callers that book 120 times a second for 75 s and resend
    When hosts, upstreams and the store fail at random for 60 s
    Then no key ran twice, nobody was told wrongly and no region went above its slots
