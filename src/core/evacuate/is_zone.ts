/** A longer name of a data centre is taken for a mistake. */
const maxLength = 200;

/** Whether a text can be the name of a data centre. */
export function isZone(text: string): boolean {
  return text !== "" && text.length <= maxLength && !/[\s/\p{C}]/u.test(text);
}
