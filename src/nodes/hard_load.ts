/** What an entry does under high load; all off unless the settings ask. */
export interface HardLoad {
  /** Holds submissions through the end of a store outage. */
  readonly holdsSubmissions: boolean;
}
