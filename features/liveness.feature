Feature: Silent targets are probed as often as their requests require

  Scenario Outline: The time until a target without power is probed
    Guards against a dead machine that keeps requests, and against probes of targets that work.

    Given a target that knows the object and one that does not
    When a request with an objective of <aim> s is sent to each and both send nothing
    Then they are probed <known> s and <unknown> s later

    Examples:
      | aim | known | unknown |
      | 0.3 | 0.4   | 0.6     |
      | 0.6 | 0.48  | 1.2     |
      | 1.5 | 1.2   | 3.0     |
      | 5   | 3.0   | 3.0     |

  Scenario: Normal runs cause no probes
    Guards against a new connection for each request whose run takes longer than a fixed time.

    When requests with an objective of 1.5 s each run for 0.8 s, or for 2.6 s if their object is new
    Then no target is probed

  Scenario: A target that passes its probes is probed less and less often
    Guards against probes at the rate of slow requests.

    When a target passes each probe while it sends nothing for 20 s
    Then it is probed at most 8 times
    And a response makes the next silence start anew

  Scenario: The silence of one target makes those of its zone suspect
    Guards against a zone without power whose targets are found one after the other.

    Given targets in two zones with requests in flight for 0.5 s that are not due for a probe
    When one of the first zone is found silent
    Then exactly the targets of its zone are due, and 5 s after the last finding they are not

  Scenario: A target that is no longer registered is still probed
    Guards against requests that wait until their deadline at a machine that is gone.

    Given a target with a request in flight
    When the target is removed from the store and sends nothing
    Then it is probed, and no longer when the request has ended

  Scenario: Test connections follow the requests in flight, not the targets
    Guards against connections to targets at a rate of hosts times targets.

    Given 300 targets of which 3 have requests in flight and all accept connections
    When the liveness checker of a host runs for 10 s while nothing is sent
    Then it opens at most 24 connections, all of them to the 3 targets

  Scenario: Targets are probed in the order of their requests
    Guards against an order that differs from run to run, so that a failure cannot be replayed.

    Given 40 targets of which 40 have requests in flight and all accept connections
    When the liveness checker of a host runs for 2 s while nothing is sent
    Then it probes the targets in the order of their requests

  Scenario: A response during a probe shows that the target works
    Guards against a target that is taken out of use although it has just responded.

    Given a target whose address does not accept connections
    When it responds to one request while another one makes it due for a probe
    Then it is not marked as down

  Scenario: A target without power is marked as down within its bound
    Guards against a dead machine that keeps requests for longer than the silence allowed to it.

    Given a target whose address does not accept connections
    When a request for an object that it knows is sent with an objective of 1 s
    Then it is marked as down between 0.8 s and 1.5 s later
