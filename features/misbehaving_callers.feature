Feature: Misbehaving callers exhaust neither the memory nor the descriptors of a host

  The settings lower memory_mb and max_descriptors, and the manifest lowers the limits, so that a small
  number of callers suffices. The crowds and the bounds were fixed with the code that had no limits.

  Scenario Outline: Callers send <crowd> to <place>
    Guards against a host that ends or refuses everybody because of callers that nobody controls.

    Given a process of a host with 64 MB, 400 descriptors and bodies of at most 1 MB
    When callers send <crowd> to <place> and stay connected
    Then the process lives, within its memory and its descriptors
    And an ordinary request is answered, and so is one at that place

    Examples:
      | place                      | crowd                               |
      | a path with a route        | bodies one byte short               |
      | a path with a route        | bodies one byte short in pieces     |
      | a path with a route        | bodies one chunk short              |
      | a path with a route        | bodies in one-byte chunks           |
      | a path with a route        | bodies with a length over the limit |
      | a path with a route        | chunks without end                  |
      | a path with a route        | short header fields                 |
      | a path with a route        | pipelined requests                  |
      | a path with a route        | half a header                       |
      | a path without a route     | bodies one byte short               |
      | a path without a route     | bodies one byte short in pieces     |
      | a path without a route     | bodies one chunk short              |
      | a path without a route     | bodies in one-byte chunks           |
      | a path without a route     | bodies with a length over the limit |
      | a path without a route     | chunks without end                  |
      | a path without a route     | short header fields                 |
      | a path without a route     | pipelined requests                  |
      | a path without a route     | half a header                       |
      | the readiness address      | bodies one byte short               |
      | the readiness address      | bodies one byte short in pieces     |
      | the readiness address      | bodies one chunk short              |
      | the readiness address      | bodies in one-byte chunks           |
      | the readiness address      | bodies with a length over the limit |
      | the readiness address      | chunks without end                  |
      | the readiness address      | short header fields                 |
      | the readiness address      | pipelined requests                  |
      | the readiness address      | half a header                       |
      | the look-up address        | bodies one byte short               |
      | the look-up address        | bodies one byte short in pieces     |
      | the look-up address        | bodies one chunk short              |
      | the look-up address        | bodies in one-byte chunks           |
      | the look-up address        | bodies with a length over the limit |
      | the look-up address        | chunks without end                  |
      | the look-up address        | short header fields                 |
      | the look-up address        | pipelined requests                  |
      | the look-up address        | half a header                       |
      | the operator address       | bodies one byte short               |
      | the operator address       | bodies one byte short in pieces     |
      | the operator address       | bodies one chunk short              |
      | the operator address       | bodies in one-byte chunks           |
      | the operator address       | bodies with a length over the limit |
      | the operator address       | chunks without end                  |
      | the operator address       | short header fields                 |
      | the operator address       | pipelined requests                  |
      | the operator address       | half a header                       |

  Scenario Outline: A single request with <content> on a host of 152 MB
    Guards against limits that refuse a request that is within the platform's limits.

    Given a process of a host with 152 MB and the limits of the platform
    When one request arrives with <content>
    Then the target gets exactly that request, and the caller its response
    And the process lives, within its memory and its descriptors

    Examples:
      | content                                |
      | a body of 64 MiB                       |
      | a body of 64 MiB in chunks             |
      | 16 KiB of two-byte header fields       |
      | a body of 60000 bytes in 1-byte chunks |

  Scenario: Memory accounting of requests in any order
    Guards against accounting that drifts, and against the refusal of a request that may have run.

    When requests are opened, received, completed and released in any order
    Then the counted bytes are those of the open requests, and only incomplete ones are refused
    And the limit is exceeded only by complete requests

  Scenario: A small request arrives while bodies that have stopped take all the memory
    Guards against the refusal of an ordinary request, which would free nothing.

    When small requests arrive after bodies that stopped short of their end have filled the memory
    Then only bodies are refused

  Scenario: A small request arrives while incomplete headers take all the memory
    Guards against the refusal of an ordinary request because of headers that never end.

    When small requests arrive after incomplete headers have filled the memory
    Then only connections with incomplete headers are closed

  Scenario: Bodies that arrive slowly
    Guards against connections that are kept for a caller that sends a byte now and then.

    When bodies arrive at 50 and 5000 bytes per second, and one waits behind another request
    Then only the slow one is refused, as 408, within 12 s

  Scenario: Headers that arrive slowly
    Guards against connections that are kept open with a byte now and then.

    Given a process of a host whose limits for headers and idle connections are 1 s and 120 s
    When 20 callers send a header byte by byte while another keeps an idle connection
    Then the host closes the connections of the 20, and the other's next request is answered

  Scenario: A host is suspended while a header arrives
    Guards against callers that are cut off although their bytes are there to be read.

    When a host is suspended for 10 s between two parts of a header
    Then the connection is closed only if the header is still incomplete a second later

  Scenario: The log of callers that are cut off
    Guards against a log that grows with the number of misbehaving callers.

    When 1000 callers are cut off within a second and one 15 s later
    Then there are 2 log lines, which account for all of them

  Scenario: A body received in small pieces by a host
    Guards against memory use of many times the length of the body.

    When the body of a request arrives in 200000 pieces of 2 bytes
    Then that body takes less than 1 MB of memory and is complete

  Scenario: Two bodies of which the memory has room for one
    Guards against a refusal that does not say whether the request has run, or is not sent.

    Given a process of a host with 1 MB for the requests of callers
    When a caller stops short of the end of 900000 bytes, and another one sends as many
    Then the first is refused as not run with caller_memory, and the second is answered
    And the host counts and logs one caller that was cut off

  Scenario: The body of a request whose caller has left
    Guards against memory that is no longer counted although the run still needs it.

    Given a process of a host with 1 MB for the requests of callers
    When the caller of a non-idempotent request with 300000 bytes leaves while it runs
    Then its bytes are counted until the run has ended

  Scenario: Many idle connections beside a request in progress
    Guards against closing the connection of a request that may have run.

    Given a process of a host with 4 connections for callers
    When 20 idle connections are opened while a request runs
    Then that request is answered, and all but 4 connections are closed

  Scenario: Many connections whose callers do not read their responses
    Guards against new callers that are turned away because of callers that read nothing.

    When 4 connections with unread responses and a new one exceed a limit of 4
    Then the oldest one is closed and the new one is not

  Scenario: A rejected caller that still sends
    Guards against a response that is lost because the connection is reset under the caller.

    Given a process of a host with 4 connections for callers
    When a caller sends a body to a path without a route and reads only after that
    Then it gets the response 404

  Scenario: A request of another host for which there is no memory
    Guards against a refusal that the other host takes for a run with an unknown outcome.

    Given a process of a host with 1 MB for the requests of callers
    When another host sends it a request with 2000000 bytes
    Then that host is told that the request has not run, with the request's id

  Scenario: A body that arrives byte by byte
    Guards against notes of the times of arrival that take a hundred times the memory of the body.

    When the body of a request arrives in 500 segments of a byte
    Then the host keeps the time of at most 2 of them

  Scenario: Headers without end beside an ordinary request
    Guards against memory for headers that are not counted since they are not complete.

    Given a process of a host with 1 MB for the requests of callers
    When 40 callers send 60000 bytes of a header that does not end
    Then the host keeps at most 1 MB of them, and an ordinary request is answered

  Scenario: Complete requests fill the memory while bodies arrive
    Guards against refusals that cause each other, since a rejected request still takes memory.

    Given a process of a host with 1 MB for the requests of callers
    When complete requests leave room for 6 incomplete ones, and a seventh arrives
    Then at most 2 requests are refused
