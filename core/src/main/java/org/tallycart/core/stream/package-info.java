/**
 * Where streams began: the software version at which a stream that a caller resumes has
 * to go on. Reads no clock and opens no socket.
 */
@NullMarked
package org.tallycart.core.stream;

import org.jspecify.annotations.NullMarked;
