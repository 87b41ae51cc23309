Feature: Entry hosts serve callers in the platform deployment

  Scenario: Every host serves requests, and lookups return the hosts of the caller's region
    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When callers in both regions look up hosts and send requests to each host
    Then each request gets the response of a target
    And each lookup returns exactly the hosts of its region

  Scenario: Lookups return a host only after it has received the manifest
    Guards against lookups that send callers to a host that can only refuse their requests.

    Given 2 hosts in attiki and 1 in makedonia with targets in both
    When the operator writes the first manifest after all hosts have discovered each other
    Then no lookup returns a host before that, and all hosts are returned within 1 s after it

  Scenario: Few hosts of a large region watch the store
    Guards against a number of store calls that grows with the fleet.

    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When all hosts have discovered each other and 8 s pass
    Then at most 2 hosts of attiki watch the store

  Scenario: A draining target gets no new requests
    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When a target registers as draining under load
    Then no request reaches it later than 2 s after that, and no request fails

  Scenario: All hosts keep to the limit that a target names, and hear of its end
    Guards against hosts that each send a target in need what one host may send (LIMIT).

    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When a target names a limit of 2 requests a second for 9 s under load
    Then it gets at most 17 requests in any 4 s from 3 s after the first naming on
    And all hosts know of the limit 1 s after the first naming, and of its end 3 s after it
    And every request gets the response of a target

  Scenario: A new manifest comes into force on all hosts
    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When the operator moves the route to another service under load
    Then every request sent later than 2 s after that is run by the new service

  Scenario: An outage of the store does not affect callers
    Guards against hosts that drop the targets or the manifest while the store is unavailable.

    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When the store does not respond for 4 s and its registrations are missing for 1 s
    Then every request gets the response of a target

  Scenario: Hosts whose entries the store lost register again
    Guards against hosts that start later and find no other host, since the store came back older.

    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When the store comes back from a copy without the entries of three hosts
    Then all hosts are listed in the store 6 s later
    And each host has made one fresh read of its entry, and three have written it

  Scenario: A graceful shutdown loses no requests
    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When one host shuts down gracefully while callers follow lookups
    Then every request gets the response of a target
    And the host ends within its grace period and lookups on other hosts no longer return it

  Scenario: Requests that arrive late in the grace period end before the host
    Guards against requests that are passed on and then cut when the process ends.

    Given a process of a host, with a target that takes 1 s
    When it gets SIGTERM while callers keep sending requests with a timeout of 2 s
    Then each request ends with its target's response, or reached no target
    And those rejected before the host ends are told to retry elsewhere at once

  Scenario Outline: A request that outlasts the grace period is answered when its host ends
    Guards against a connection that closes without telling its caller whether the request may have run.

    Given a process of a host, with a target that takes 8 s
    When it gets SIGTERM while <kind> request with a timeout of 9 s waits for its response
    Then its caller is told <status> <code> before the grace period of 6 s is over

    Examples:
      | kind             | status | code            |
      | an idempotent    | 504    | outcome_unknown |
      | a non-idempotent | 504    | outcome_unknown |

  Scenario: A non-idempotent request whose caller has left ends before its host does
    Guards against a run that is dropped because only requests with a waiting caller are counted.

    Given a process of a host, with a target that takes 4.5 s
    When it gets SIGTERM after the caller of a non-idempotent request has left
    Then the target completes the request before the host closes the connection

  Scenario: Hosts that restart serve requests again
    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When all hosts are killed at once and restart with no state but the store
    Then all hosts are ready within 3 s and serve requests

  Scenario: Requests over each limit are refused with the matching status
    Given 1 hosts in attiki and 0 in makedonia with targets in both
    When a caller sends oversized headers, an oversized body, an unknown path and a valid request
    Then the responses have the status codes 431, 413, 404 and 200

  Scenario: Requests cannot be smuggled
    Guards against a second request hidden in the body of the first.

    Given 1 hosts in attiki and 0 in makedonia with targets in both
    When a caller sends requests with two lengths, a length and chunks, or a malformed chunk
    Then no target receives the hidden request

  Scenario: The operator pages show the state of a host
    Given 5 hosts in attiki and 1 in makedonia with targets in both
    When the operator pages are read
    Then the status, the dump and the metrics show the manifest and the requests

  Scenario: Changes of the settings file are applied
    Given a host with a settings file
    When the file gets a different bound, then an error, with SIGHUP after each change
    Then the bound is in force, and the invalid file is logged and not applied

  Scenario: Lookups return a host that restarted with its clock set back
    Guards against a host that the others do not recognise until it restarts once more.

    Given 2 hosts in attiki and 1 in makedonia with targets in both
    When a host is killed and restarts 6 s later with its clock set back by a minute
    Then lookups on the other hosts return it within 4 s after its start

  Scenario: A reload never terminates the process
    Guards against SIGHUP terminating a host during its start or after its graceful shutdown.

    Given a host with a settings file
    When its process receives SIGHUP repeatedly from its start to the end of a graceful shutdown
    Then SIGHUP is ignored until the host handles it, and the process exits with code 0

  Scenario: A signal at the end of a process does not terminate it
    Guards against a default action that is in force between the removal of a handler and the
    ignoring of its signal.

    When a process ignores its signals while each arrives right after its handler was removed
    Then the process exits with code 0
