Feature: A fleet of real processes tolerates stops and the loss of targets and connections

  Scenario Outline: Hosts are stopped as planned under load
    Guards against a stop that aborts requests or refuses callers with older look-ups (R7).
    Given 9 host processes whose look-ups have a time to live of 1.5 s
    When <count> hosts at a time are stopped as planned in turn, while callers follow look-ups
    Then every stop ended with exit code 0 and no request was cut off

    Examples:
      | count |
      | 3     |

    @long
    Examples:
      | count |
      | 1     |

  Scenario: Hosts that are slow to start are not named before they serve
    Guards against look-ups that contain a host that has joined the fleet but has no declaration
    yet, and against callers of this test that use a look-up beyond its time to live.
    Given 9 host processes whose look-ups have a time to live of 1.5 s
    When 3 hosts at a time are stopped as planned and paused for 2.5 s as soon as they listen again
    Then every stop ended with exit code 0 and no request was cut off

  Scenario: Upstreams leave
    Guards against new requests to a leaving target from any host (R6).
    Given 9 host processes
    When one target after the other leaves: nothing fails, the list lags, the store is down
    Then no target got new work more than 3 s after it began to leave

  Scenario: A request crashes its targets and is resent to other hosts
    Guards against the loss of all targets to a single caller. At most crash_limit (2) targets are
    lost, and one more for each retry within the time that a crash report takes to reach all hosts,
    which is below the pause of 0.5 s.
    Given 9 host processes whose bookings targets crash on a marked request
    When the marked request is resent to other hosts with new keys every 0.5 s
    Then at most 3 targets are lost
    And requests that were in flight beside it are served when they are sent again

  Scenario: Open connections go silent while new ones work
    Guards against callers that wait on silent connections and targets that are marked down for them.
    Given 9 host processes with spare capacity
    When all open connections to the upstreams go silent
    Then after 3 s each new request is done and no target is marked down

  Scenario: Two operators race
    Guards against changes that are silently lost, slow, or reverted by a restart (R8).
    Given 9 host processes
    When two operators submit different declarations at once
    Then one wins and the other gets exit code 5 with the paths that differ
    And the winner is in force on all 9 hosts within 8 s and stays for 3 s
    And it is in force after all hosts but one were started again with the store down
