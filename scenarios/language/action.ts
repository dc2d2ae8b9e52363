import type { Statement } from "./statement.ts";
import type { World } from "../world/world.ts";

/** Carries out one `at` statement's verb; the words start with the verb. */
export type Action = (world: World, statement: Statement) => void;
