import * as v from "valibot";
import { JobTemplate } from "./job_template.ts";
import { Member } from "./member.ts";
import { Name } from "./name.ts";
import { Policy } from "./policy.ts";
import { Pool } from "./pool.ts";
import { Service } from "./service.ts";
import { Term } from "./term.ts";

const Item = v.variant("kind", [
  v.strictObject({
    kind: v.literal("venture"),
    value: v.strictObject({ name: Name, term: Term }),
  }),
  v.strictObject({ kind: v.literal("member"), value: Member }),
  v.strictObject({ kind: v.literal("pool"), value: Pool }),
  v.strictObject({ kind: v.literal("service"), value: Service }),
  v.strictObject({ kind: v.literal("job"), value: JobTemplate }),
  v.strictObject({ kind: v.literal("policy"), value: Policy }),
]);

const CommonFields = { id: v.string(), by: v.string(), atMs: v.number() };

const Image = v.strictObject({
  revision: v.number(),
  covers: v.number(),
  rows: v.array(
    v.strictObject({ item: Item, revision: v.number(), by: v.string() }),
  ),
  // The key of each removed item, and the revision and author of the removal.
  removed: v.array(v.tuple([v.string(), v.number(), v.string()])),
});

/** A record read from the configuration stream. */
export const ConfigRecordSchema = v.variant("kind", [
  v.strictObject({
    kind: v.literal("published"),
    ...CommonFields,
    basedOn: v.number(),
    puts: v.array(Item),
    removes: v.array(v.string()),
  }),
  v.strictObject({
    kind: v.literal("restated"),
    ...CommonFields,
    image: Image,
  }),
]);
