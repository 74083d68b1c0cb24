@fixture.platform_cell
Feature: Callers' keys at the entries of a cell of real processes

  Scenario: No key is judged before there is a configuration
    Then each entry answers these submissions with these statuses
      | authorization | status |
      |               | 503    |
      | Token UNKNOWN | 503    |

  Scenario: Each entry answers 401 for an unknown or missing key
    When a configuration gives acme 2 keys and beta 1 key
    Then each entry answers these submissions with these statuses
      | authorization | status |
      |               | 401    |
      | Token UNKNOWN | 401    |
      | Basic ACME-1  | 401    |
      | ACME-1        | 401    |
      | Token         | 401    |
      | Token ACME-1  | 200    |
      | token ACME-2  | 200    |
      | TOKEN  BETA-1 | 200    |
    And an invalid job is answered 401 without a key, and 400 with one

  Scenario: Another customer's job is answered as an unknown one
    When a job is submitted with the header "Token ACME-1"
    Then these requests about it are answered with these statuses
      | method | authorization | status |
      | GET    | Token ACME-2  | 200    |
      | GET    | Token BETA-1  | 410    |
      | DELETE | Token BETA-1  | 410    |
      | POST   | Token BETA-1  | 409    |
      | POST   | Token ACME-2  | 200    |
      | DELETE | Token ACME-2  | 200    |

  Scenario: No Authorization header is answered with a failure
    When 300 submissions with random Authorization headers are sent from seed 1
    Then each was answered 400 or 401

  Scenario: A key that is removed is refused at once by each entry
    When a configuration gives acme 1 key and beta 1 key
    Then each entry answers these submissions with these statuses
      | authorization | status |
      | Token ACME-2  | 401    |
      | Token ACME-1  | 200    |

  Scenario: A known key is never refused while there is no leader, or a new one
    When all schedulers are killed, and restarted 2 seconds later
    Then known keys were answered 503 or 504 until they were answered 200
    And other keys were answered 503 or 504 until they were answered 401

  Scenario: Keys occur in no log line and no metric
    Then neither a key nor its digest is in a log line or metric of a process
