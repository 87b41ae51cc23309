Feature: All hosts together keep to the quotas of customers

  Scenario Outline: Usual load of <hosts> hosts
    Guards against refusals of customers that use a part of their quota, after a start as well.

    Given <hosts> hosts that serve 73 customers
    When the callers send their usual requests for 14 s
    Then nothing is refused
    And no window has more requests than the quotas allow

    Examples:
      | hosts |
      | 9     |
      | 61    |
      | 300   |

  Scenario Outline: A hot customer at <hosts> hosts
    Guards against hosts that each allow what all may run, and against quotas left unused.

    Given <hosts> hosts that serve 73 customers
    When customers 0, 5 and 72 send 7.5 times their usual requests for 6.5 s, one after the other
    Then no window has more requests than the quotas allow
    And each of them has used 0.85 of its quota in that time
    And refused callers are told to return after 0.1 s to 5 s, spread over at least 1 s

    Examples:
      | hosts |
      | 9     |
      | 61    |
      | 300   |

  Scenario Outline: Urgent requests of customer <customer>, which is hot, at <hosts> hosts
    Guards against urgent requests that are refused while others of the customer run.

    Given <hosts> hosts that serve 73 customers
    When customer <customer> sends 7.5 times its usual requests for 6.5 s, a tenth of them urgent
    Then at most a tenth of the urgent ones is refused, and more than half of the others
    And no window has more requests than the quotas allow
    And it has used 0.85 of its quota in that time

    Examples:
      | customer | hosts |
      | 0        | 9     |
      | 0        | 61    |
      | 0        | 300   |
      | 5        | 61    |

  Scenario: A hot customer whose callers are all in one zone
    Guards against shares that follow the number of hosts instead of the demand.

    Given 61 hosts that serve 73 customers
    When customer 0 sends 7.5 times its usual requests for 6.5 s, all in one zone
    Then no window has more requests than the quotas allow
    And it has used 0.7 of its quota in that time

  Scenario: Demand moves from one zone to another within a second
    Guards against shares that stay where the demand was.

    Given 61 hosts that serve 73 customers
    When the callers of one zone, and then all, move to another zone
    Then nothing is refused
    And no window has more requests than the quotas allow

  Scenario: Many small customers
    Guards against shares of less than one request for each host.

    Given 61 hosts that serve 300 customers with quotas of 2 requests a second
    When the callers send a third of their quotas for 10 s
    Then nothing is refused
    And no window has more requests than the quotas allow

  Scenario: A coordinator dies under usual load
    Guards against refusals until another host has taken over.

    Given 61 hosts that serve 73 customers
    When a coordinator dies under usual load
    Then at most 1 in 1000 requests is refused
    And no window has more requests than the quotas allow

  Scenario: Coordinators die while a customer is hot
    Guards against successors that give again what has been given.

    Given 61 hosts that serve 73 customers
    When three coordinators die, one after the other, while customer 0 is hot
    Then no window has more requests than the quotas allow
    And it has used 0.85 of its quota in that time

  Scenario: A region is cut off while customers are hot
    Guards against both sides of a partition giving the whole quota.

    Given 61 hosts that serve 73 customers
    When one of three regions is cut off for 12 s while customers 0, 3 and 72 are hot
    Then no window has more requests than the quotas allow
    And customer 0 has used 0.85 of its quota in that time

  Scenario: A zone is cut off at different moments in the view of its hosts
    Guards against hosts whose share counts at two coordinators.

    Given 61 hosts that serve 73 customers
    When the hosts disagree on who is alive while customers 0 and 5 are hot
    Then no window has more requests than the quotas allow

  Scenario: Messages are delayed by up to three seconds
    Guards against shares and tokens that are used after they have lapsed.

    Given 61 hosts that serve 73 customers
    When messages are delayed by up to 3 s while customers 0 and 5 are hot and hosts are suspected
    Then no window has more requests than the quotas allow

  Scenario: Hosts are slow to answer
    Guards against tokens that expire on the way, and are given twice, while hosts are busy.

    Given 61 hosts that serve 73 customers
    When messages are delayed by up to 0.25 s under usual load
    Then each host sends at most 34 messages a second
    And at most 1 in 1000 requests is refused
    And no window has more requests than the quotas allow

  Scenario: Hosts freeze and wake
    Guards against outdated shares of hosts that wake.

    Given 61 hosts that serve 73 customers
    When all coordinators and some hosts freeze for 0.7 s, again and again, while customer 0 is hot
    Then no window has more requests than the quotas allow

  Scenario: Hosts freeze for longer than the others wait
    Guards against coordinators that wake and give from what they had.

    Given 61 hosts that serve 73 customers
    When some coordinators and hosts freeze for 4 s while customers 0 and 72 are hot
    Then no window has more requests than the quotas allow

  Scenario: All hosts restart under usual load
    Guards against coordinators without history that refuse requests.

    Given 61 hosts that serve 73 customers
    When all hosts lose power at once under usual load
    Then nothing is refused
    And no window has more requests than the quotas allow

  Scenario: All hosts restart while a customer is hot
    Guards against requests of before the restart that nobody knows of.

    Given 61 hosts that serve 73 customers
    When all hosts lose power at once while customer 0 is hot
    Then no window has more requests than the quotas allow
    And none of the other customers is refused

  Scenario: Hosts are replaced one after the other
    Guards against refusals while shares move.

    Given 61 hosts that serve 73 customers
    When 12 hosts restart one after the other
    Then at most 1 in 1000 requests is refused
    And no window has more requests than the quotas allow

  Scenario: A quota is lowered
    Guards against coordinators or hosts that keep to the earlier quota.

    Given 61 hosts that serve 73 customers
    When the quota of hot customer 0 is lowered to 0.4, known to all hosts within 3 s
    Then no window that starts later has more requests than the lower quota allows

  Scenario: A quota comes into force at different moments
    Guards against refusals by hosts whose coordinators do not know the quota yet.

    Given 61 hosts that serve 73 customers
    When half of the hosts learn of all quotas 2 s later than the others
    Then nothing is refused

  Scenario: No customer has a quota
    Guards against messages that hosts of earlier builds do not know.

    Given 9 hosts that serve 73 customers without quotas
    When the callers send their usual requests for 4 s
    Then no message has been sent

  Scenario: A share is delegated to one coordinator at a time
    Guards against a share that counts twice, although clocks differ and replies take long.

    When a host changes its coordinator at any moment, and messages take any time up to 3 s
    Then its share never counts at two coordinators
    And it comes with initial tokens at most once in 10 s

  Scenario: A delayed message delegates a share that was withdrawn
    Guards against a share that counts at a coordinator to which it is no longer delegated.

    When a coordinator gets a withdrawal before the message that was sent ahead of it
    Then the share does not count

  Scenario: A coordinator is suspended for longer than shares are delegated
    Guards against tokens for the time in which the shares belonged to others.

    When a coordinator with all shares is suspended for 10 s
    Then it gives no tokens

  Scenario: The hosts of a coordinator are cut off from it
    Guards against two hosts that both coordinate, and together give more than the quota.

    When two coordinators have a third and two thirds of the shares after one had them all
    Then each gives its part of the rate, and keeps its part of the stock

  Scenario: Which hosts count in the division of quotas
    Guards against parts of hosts that may still run requests, or have run some in the same window.

    When of 6 hosts one stops, one is suspected, one is gone for the others and one is only listed
    Then all count at first, and 6 s later all but the one that stopped

  Scenario: The parts of a quota never exceed it
    Guards against an error in the division, also for extreme quotas and fleets.

    When quotas and windows of any size are divided among fleets of any size
    Then what can run in a window in the worst case is within the bound

  Scenario: A request is suspended while it waits
    Guards against tokens of an earlier window.

    When a token arrives for a request whose host is suspended for 10 s
    Then the request is refused

  Scenario: A machine is suspended
    Guards against tokens of an earlier window, as the event loop's clock stands still meanwhile.

    When the machine of a host that holds tokens is suspended for 10 s
    Then the host no longer holds them

  Scenario: A process starts on a host that ran requests
    Guards against requests of the process before, which do not count.

    When a host runs what it may without asking, and starts again
    Then it runs nothing without asking for 5.75 s

  Scenario: A request that has not run returns what it took
    Guards against quotas that are used up by requests that no target ran.

    When a dispatcher handles a request with a quota that no target accepts
    Then the permission is returned

  Scenario: A request that a target ran counts
    Guards against permissions that are returned although the request has run.

    When a dispatcher handles a request with a quota that a target runs
    Then the permission is not returned

  Scenario: The state page and the log name a customer that is limited
    Guards against limits that operators cannot see.

    Given 9 hosts that serve 73 customers
    When customer 0 sends 7.5 times its usual requests for 6.5 s, and 12 s pass
    Then each host has logged that it limits the customer and that it no longer does

  Scenario: Entry hosts limit a customer together
    Guards against entry hosts that do not apply the quotas.

    Given 2 hosts in attiki and 1 in makedonia with targets in both
    When a customer with a quota of 8 a second sends 40 a second to all hosts for 6 s
    Then between 40 and 72 of its requests run in any 5 s, and the others are answered 429
