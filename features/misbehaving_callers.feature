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
