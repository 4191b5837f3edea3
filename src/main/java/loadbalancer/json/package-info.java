/**
 * Checked access to JSON objects: every field is read with the type it must have, and input that
 * does not comply is reported by the path of the field.
 */
package loadbalancer.json;
