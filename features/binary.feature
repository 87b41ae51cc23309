Feature: A host runs from one executable file

  Scenario: The executable is built and a host runs from it
    Guards against a build that starts processes, unpacks itself to disk, shares memory or uses
    libraries that it does not contain.
    Given the executable file and a store
    When a host runs from the executable with no other library on the path
    Then the process has no child and was not started through another process
    And it has no regular file open or mapped outside the Python installation and the executable
    And it maps no shared memory
    And the folder for temporary files is empty
    And SIGTERM ends it with exit code 0
