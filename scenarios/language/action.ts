import type { Statement } from "./statement.ts";
import type { World } from "../world/world.ts";

/** Runs the action of an `at` statement; its first word is the verb. */
export type Action = (simulation: World, statement: Statement) => void;
