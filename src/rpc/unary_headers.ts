/** What marks a unary call of the Connect protocol with binary messages. */
export const unaryHeaders = {
  "content-type": "application/proto",
  "connect-protocol-version": "1",
};
