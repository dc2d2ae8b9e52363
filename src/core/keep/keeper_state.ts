/** Where a process stands in a cell; see keeper_life.json. */
export type KeeperState =
  | "following"
  | "catching_up"
  | "claiming"
  | "settling"
  | "keeping";
