@long
Feature: A fleet of real processes keeps its promises under long and random failures
  Guards R2, R3, R4 and R5 in cases that a short run does not reach: share epochs advance while
  hosts are paused, and failures of all kinds overlap.

  Scenario: Hosts are paused until their shares are reassigned
    Given 9 host processes
    And callers that book 120 times a second for 90 s and resend
    When 3 hosts are paused for 78 s and resumed
    Then no key ran twice, no caller got a wrong outcome and no region exceeded its slots

  Scenario: Hosts, upstreams and the store fail at random
    Given 9 host processes
    And callers that book 120 times a second for 75 s and resend
    When hosts, upstreams and the store fail at random for 60 s
    Then no key ran twice, no caller got a wrong outcome and no region exceeded its slots
