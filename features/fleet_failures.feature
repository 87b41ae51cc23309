Feature: A fleet of real processes keeps its promises under failures
  Guards R2, R3, R4 and R5: a booking that is retried at other hosts runs at most once, its callers
  receive the bytes of that run, "not run" is true, and no region has more requests in progress than
  slots. The scenarios tagged @long are covered by the last two, which inject the same faults in
  combination with a second one.

  Background:
    Given 9 host processes
    And callers that book 120 times a second for 5 s and resend

  @long
  Scenario: Hosts are killed and started again
    When 5 hosts are killed and started again one after the other
    Then no key ran twice, no caller got a wrong outcome and no region exceeded its slots

  @long
  Scenario: Hosts are paused beyond all timeouts and resumed
    When 3 hosts are paused for 6 s and resumed
    Then no key ran twice, no caller got a wrong outcome and no region exceeded its slots

  @long
  Scenario: Upstreams are killed and started again
    When the upstreams of each region are killed and started again in turn
    Then no key ran twice, no caller got a wrong outcome and no region exceeded its slots

  Scenario: The store is down, slow and loses answers
    When the store is down, then slow, then loses every answer for 2 s each
    Then no key ran twice, no caller got a wrong outcome and no region exceeded its slots

  Scenario: Hosts are killed while the store is down
    When 5 hosts are killed and started again while the store is down
    Then no key ran twice, no caller got a wrong outcome and no region exceeded its slots

  Scenario: Hosts are paused while upstreams are killed
    When 2 hosts are paused while the upstreams of each region are killed and started again
    Then no key ran twice, no caller got a wrong outcome and no region exceeded its slots
