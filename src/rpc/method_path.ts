import type { DescMethod } from "@bufbuild/protobuf";

/** The path of a method, as the Connect protocol has it. */
export function methodPath(method: DescMethod): string {
  return `/${method.parent.typeName}/${method.name}`;
}
