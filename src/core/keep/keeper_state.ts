/** A process's state in its cell; transitions are in keeper_life.json. */
export type KeeperState =
  | "following"
  | "catching_up"
  | "claiming"
  | "settling"
  | "keeping";
