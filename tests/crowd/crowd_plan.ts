/** What each client of a crowd does. */
export interface CrowdPlan {
  readonly clients: number;
  /** What a client sends. */
  readonly parts: (client: number) => readonly (string | Buffer)[];
  /** Whether the clients read what they are sent; they do by default. */
  readonly reads?: boolean;
}
